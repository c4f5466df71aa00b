"""Store and run batch jobs; all of their state is in the platform's store.

A job is one object, created once. Its results are stored in groups: objects numbered from 0, each
created once by an instance that has read all earlier groups. Hence every item is listed once and
keeps its position, however many instances run the job concurrently.
"""
