"""Small fakes for the demo and the tests, with fault switches."""
