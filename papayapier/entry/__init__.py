"""Serve callers and operators over HTTP."""
