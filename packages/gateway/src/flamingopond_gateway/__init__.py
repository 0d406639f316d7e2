"""HTTP gateway that routes callers' requests to targets."""
