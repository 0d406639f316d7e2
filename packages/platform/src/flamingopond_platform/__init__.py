"""Interfaces to the platform and to targets, with their HTTP clients."""
