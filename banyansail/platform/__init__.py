"""Client of the platform: object API, cloud API and list of instances."""
