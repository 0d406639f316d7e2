"""Interfaces of the platform's services and of targets, with HTTP clients for them."""
