"""Rows of the platform's store: reads, writes, watches and leases."""
