"""The deploy file names what exists: files that decide, and files and folders of the gateway."""

import pathlib
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_each_policy_entry_is_a_file():
    assert all((ROOT / name).is_file() for name in DEPLOY["policy"]), DEPLOY["policy"]
    assert len(DEPLOY["policy"]) == len(set(DEPLOY["policy"]))


def test_each_node_entry_exists():
    assert all((ROOT / name).exists() for name in DEPLOY["node"]), DEPLOY["node"]


def test_no_module_of_the_router_is_missing_from_the_policy():
    modules = {str(path.relative_to(ROOT)) for path in (ROOT / "claycross/routing").rglob("*.py")}
    assert modules <= set(DEPLOY["policy"]), modules - set(DEPLOY["policy"])
