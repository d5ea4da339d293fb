"""Adapters to the platform that keeps what must last."""
