"""Translate between the users' platform and this product, without any decisions.

Only this package knows the platform's names. Each is decoded once into a type of the package
that is responsible for it, and the fields of these types have descriptive names.
"""
