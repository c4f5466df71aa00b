"""Simulate policy decisions on a model of a few engines, in virtual time without sockets."""
