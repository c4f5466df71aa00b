"""Run the processes of a deployment on the users' platform: entries and keepers.

base.py wires what both have, entry.py and keeper.py the rest of each; together they are the
composition root of these programs, as compose.py is that of `papayapier serve`.
"""
