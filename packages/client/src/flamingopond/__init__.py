"""Client library and command line for flamingopond operators."""
