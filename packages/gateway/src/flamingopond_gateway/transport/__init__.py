"""HTTP connections to callers, targets, the store and other gateways."""
