"""Run the processes of a deployment on the users' platform: entries and keepers.

base.py builds the parts that both roles share, entry.py and keeper.py the parts of one role.
Together they are the composition root of these programs, as compose.py is that of
`papayapier serve`.
"""
