"""Steps of the features."""
