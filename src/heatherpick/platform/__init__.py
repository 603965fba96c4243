"""Adapter to the users' platform, without any logic of its own.

`settings` reads the settings file that the platform writes for each process, `wire`
decodes the platform's documents to the types of `heatherpick._serving.model`, `store`
is the client of the platform's object store, and `__main__` starts a node with them.
"""
