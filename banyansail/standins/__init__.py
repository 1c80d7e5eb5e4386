"""Stand-ins for the platform, model engines and services, for the demo and tests."""
