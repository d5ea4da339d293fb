"""Client and adapters for the platform that stores all persistent state."""
