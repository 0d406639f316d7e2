"""Fake platform services and targets (stand-ins) for tests and demonstrations."""
