"""What is known of each target: its entry, health, limits and loaded models."""
