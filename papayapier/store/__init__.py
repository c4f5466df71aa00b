"""Access the platform: objects, watches, the instance list and the weight store."""
