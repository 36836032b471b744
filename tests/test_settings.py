import json

import pytest
from helpers import SETTINGS

from hollystage.service.config import parse
from hollystage.settings import ConfigError, read, translate


@pytest.mark.parametrize("depends_on, calls_out, error", [
    ("tier", 3.0, r"CallsOut.*\$\.Domain"), ("none", 1.0, r"CallsOut.*\$\.Domain"),
    ("tier", 0.0, ""), ("shared", 3.0, "")])
def test_rejects_a_share_of_calls_without_a_shared_dependency(depends_on, calls_out, error):
    settings = {"Domain": {"Cores": 2, "RamKb": 1e4, "RunFactor": 4, "DependsOn": depends_on, "CallsOut": calls_out},
             "Rules": {"FallMultiple": 8, "StopSendingWithinUs": 0},
             "Profiles": [{"Repeat": "once", "Value": 1, "PromiseUs": 1, "GiveUpUs": 2}]}
    if error:
        with pytest.raises(ConfigError, match=error):
            translate(read(json.dumps(settings).encode()))
    else:
        assert translate(read(json.dumps(settings).encode())).downstream_tier is (depends_on == "tier")


def test_configuration_error_names_the_key_of_the_invalid_setting():
    config = {"name": "n3", "listen": "127.0.0.1:7001", "vm": "127.0.0.1:7002", "ledger": "127.0.0.1:7003",
              "control": "127.0.0.1:7004"}
    config["settings"] = SETTINGS | {"Domain": SETTINGS["Domain"] | {"DependsOn": "tier"}}
    with pytest.raises(ConfigError, match=r"CallsOut.*\$\.settings\.Domain"):
        parse(json.dumps(config).encode())
    config["settings"]["Domain"]["CallsOut"] = 0
    assert parse(json.dumps(config).encode()).settings.domain.depends_on == "tier"
