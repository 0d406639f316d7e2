"""Pure decision logic of flamingopond."""
