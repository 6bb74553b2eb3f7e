"""The forms that the platform gives its figures in: settings rendered from deploy/settings.template are accepted."""

import pathlib
import re
import subprocess
import tempfile
import unittest

from processes import PROGRAMS, ROOT

PLATFORM_FIELDS = {
    "ip": "10.1.0.35", "zone": "fsd-hall", "region": "pk-central", "service": "ledger",
    "listen.inbound": "10.1.0.35:8145", "listen.outbound": "10.1.0.35:8141", "listen.ready": "10.1.0.35:8140",
    "internal-ports.0": "7660", "internal-ports.1": "7675",
    "limits.link-mbps": "1000.0", "limits.max-fds": "4100",
    "app-addr": "10.1.0.35:8147", "platform.address": "10.200.1.7:8142", "platform.reads-per-s": "2000",
    "bounds.grace": "6s", "bounds.retry-ratio": "0.2", "bounds.retry-slack": "64", "bounds.cold-overage": "1.5",
    "bounds.cold-slack": "8",
}
BOUNDS = [name for name in PLATFORM_FIELDS if name.startswith("bounds.")]
FIGURES = [name for name in BOUNDS if name != "bounds.grace"]


def render(fields):
    """Fills in the template as the platform does; `fields` holds the text of each value."""
    text = (ROOT / "deploy" / "settings.template").read_text()

    def section(found):
        is_set = fields.get(found.group(1), "false") != "false"
        return found.group(2) if is_set else ""

    while "{{#" in text:  # Sections may hold sections.
        text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", lambda found: fields.get(found.group(1), ""), text)


class SettingsFormsTest(unittest.TestCase):
    def check(self, **changed):
        fields = {name: changed.get(name, value) for name, value in PLATFORM_FIELDS.items()}
        with tempfile.TemporaryDirectory() as folder:
            settings = pathlib.Path(folder) / "local.json"
            settings.write_text(render({name: value for name, value in fields.items() if value is not None}))
            ended = subprocess.run([PROGRAMS / "wagtailmountd" / "wagtailmountd", "--settings", settings, "--check"],
                                   capture_output=True, text=True, timeout=20)
            with self.subTest(changed=changed):
                self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)

    def test_the_figures_of_an_ordinary_deployment_are_accepted(self):
        self.check()

    # Guards against processes that end at every start because a bound is a fraction, which is as good as a whole number.
    def test_each_bound_may_be_a_fraction(self):
        for name in FIGURES:
            for value in ("1", "2.0", "1.5", "0", "0.5", "0.125"):
                self.check(**{name: value})

    # A bound that is true or false states no figure; the default stands.
    def test_each_bound_may_be_true_or_false(self):
        for name in FIGURES:
            for value in ("true", "false"):
                self.check(**{name: value})

    # Guards against settings that are no JSON where a contract, and with it its bounds, isn't in force.
    def test_each_bound_may_be_left_out(self):
        for name in BOUNDS:
            self.check(**{name: None})
        self.check(**dict.fromkeys(BOUNDS))

    def test_limits_and_rates_of_the_platform_may_be_fractions(self):
        for name in ("limits.link-mbps", "limits.max-fds", "platform.reads-per-s"):
            for value in ("2000", "2000.0", "2000.5"):
                self.check(**{name: value})
        self.check(**{"limits.link-mbps": None, "limits.max-fds": None})


if __name__ == "__main__":
    unittest.main()
