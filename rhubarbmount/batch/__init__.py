"""Batch jobs on the users' platform: steps of tasks on pools of backend servers.

Modules that make decisions import nothing that does I/O. ``node`` and the components
that it starts carry the decisions out.
"""
