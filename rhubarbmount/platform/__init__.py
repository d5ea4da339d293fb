"""Clients for the users' platform, which decode its names and formats to our types."""
