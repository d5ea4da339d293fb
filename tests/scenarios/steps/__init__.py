"""The steps that scenarios are written in, which tests/conftest.py registers."""


def names(text):
    """Split a list of names."""
    return [name.strip() for name in text.split(",")]
