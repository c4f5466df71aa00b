"""Translate between the users' platform and this product; nothing in here decides anything.

The only place that knows the platform's names. Each name is decoded once into a type of the
package that owns the matter, whose fields say what they hold.
"""
