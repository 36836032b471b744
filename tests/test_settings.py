import json

import pytest
from helpers import SETTINGS

from hollystage.service.config import parse
from hollystage.settings import Faulty, read, translate


@pytest.mark.parametrize("below, calls_out, fault", [
    ("tier", 3.0, r"CallsOut.*\$\.Domain"), ("none", 1.0, r"CallsOut.*\$\.Domain"),
    ("tier", 0.0, ""), ("shared", 3.0, "")])
def test_settings_that_mix_a_shared_dependency_with_a_tier_below_are_refused(below, calls_out, fault):
    given = {"Domain": {"Cores": 2, "RamKb": 1e4, "RunFactor": 4, "DependsOn": below, "CallsOut": calls_out},
             "Rules": {"FallMultiple": 8, "StopSendingWithinUs": 0},
             "Profiles": [{"Repeat": "once", "Value": 1, "PromiseUs": 1, "GiveUpUs": 2}]}
    if fault:
        with pytest.raises(Faulty, match=fault):
            translate(read(json.dumps(given).encode()))
    else:
        assert translate(read(json.dumps(given).encode())).tier_below is (below == "tier")


def test_a_configuration_of_mixed_shape_is_refused_at_the_start_naming_the_key():
    config = {"name": "n3", "listen": "127.0.0.1:7001", "vm": "127.0.0.1:7002", "ledger": "127.0.0.1:7003",
              "control": "127.0.0.1:7004"}
    config["settings"] = SETTINGS | {"Domain": SETTINGS["Domain"] | {"DependsOn": "tier"}}
    with pytest.raises(Faulty, match=r"CallsOut.*\$\.settings\.Domain"):
        parse(json.dumps(config).encode())
    config["settings"]["Domain"]["CallsOut"] = 0
    assert parse(json.dumps(config).encode()).settings.domain.depends_on == "tier"
