"""Batch jobs on the users' platform: steps of tasks on pools of backend servers.

Decisions import nothing that does I/O. ``node`` and what it starts carry them out.
"""
