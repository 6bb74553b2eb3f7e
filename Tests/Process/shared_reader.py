"""Reads several answers from one connection, as a caller that pipelines does."""


class SharedReader:
    """Lets several answers be read from one socket: each of them would close it."""

    def __init__(self, connection):
        self._file = connection.makefile("rb")

    def makefile(self, _mode):
        return self

    def close(self):
        pass

    def __getattr__(self, name):
        return getattr(self._file, name)
