"""Which models the engines load and unload."""
