"""The embedding example of README.md runs and prints the output shown there."""

import contextlib
import io
import re
from pathlib import Path

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_example_prints_the_output_shown_in_the_readme() -> None:
    code = re.search(r"```python\n(.*?)```", README, re.DOTALL)
    expected_output = re.search(r"It prints\n\n((?:    .*\n)+)", README)
    assert code is not None and expected_output is not None
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(compile(code.group(1), "README.md", "exec"), {})
    assert out.getvalue().strip() == expected_output.group(1).strip()
