"""The flamingopond entry daemon."""
