"""Keep and run batch jobs whose whole state is in the platform's store.

A job is one object, created once. Its results are groups, objects numbered from 0, each
created once by whoever has read all the groups before it. So an item is listed once and keeps
its position, however many instances run it or believe that they should.
"""
