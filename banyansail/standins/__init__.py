"""Stand-ins of the platform, model engines and services for demo and tests."""
