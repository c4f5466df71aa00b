"""Stand in for the users' platform, by its published protocol, around real processes of ours."""
