"""The platform: object API, instance list, cloud API and weight store."""
