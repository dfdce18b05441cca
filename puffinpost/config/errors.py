"""The errors that configuration raises."""

from __future__ import annotations

from puffinpost.errors import PuffinpostError


class ConfigError(PuffinpostError):
    """Raised for an invalid value in the configuration.

    ``key`` is the invalid setting, environment variable or file, or None if it is unknown. ``problem`` says
    what is wrong with it.
    """

    def __init__(self, key: str | None, problem: str) -> None:
        super().__init__(problem if key is None else f"{key}: {problem}")
        self.key = key
        self.problem = problem

    @classmethod
    def from_text(cls, text: str) -> ConfigError:
        """Parses a text of the form ``KEY: PROBLEM``; without a key, the whole text is the problem."""
        key, separator, problem = text.partition(": ")
        return cls(key, problem) if separator else cls(None, text)


class ConfigFileNotSetError(ConfigError):
    """Raised if the environment variable that names the configuration file is not set."""

    def __init__(self, variable: str) -> None:
        super().__init__(
            None, f"{variable} is not set: it names the file that holds the node's configuration"
        )
        self.key = variable
