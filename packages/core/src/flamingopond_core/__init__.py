"""Decision logic of flamingopond, free of I/O."""
