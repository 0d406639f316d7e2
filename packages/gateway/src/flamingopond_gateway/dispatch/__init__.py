"""Admission, queues and the choice of a target for each request."""
