"""The command-line interface: commands, their options, and loading of configuration files."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Iterator
from functools import partial
from typing import TYPE_CHECKING, Annotated, NoReturn

import typer

from .config.settings import (
    ConfigurationError,
    GatewayConfig,
    read_admin,
    read_config,
    read_embeddings,
    read_etcd,
)
from .gateway import VERSION, Configuration, Gateway
from .invariant import log_line
from .net.address import Address
from .net.loop import SECOND, EventLoop

if TYPE_CHECKING:
    from .config.operator_files import CooperationConfig, Http2Config

USAGE_ERROR_STATUS = 2  # conventional exit status for invalid usage
MAX_SEEDS = 1000  # of one soak test
app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Gateway for language-model serving.",
)
EmbeddingsOption = Annotated[
    str, typer.Option("--embeddings", help="Configuration file of the embeddings service.")
]
AdminOption = Annotated[
    str, typer.Option("--admin", help="Configuration file of the administration API.")
]
Http2Option = Annotated[
    str, typer.Option("--http2", help="Configuration file that enables HTTP/2 to engines.")
]
EtcdOption = Annotated[
    str,
    typer.Option("--etcd", help="Configuration file of etcd as the source of the endpoint list."),
]
CooperationOption = Annotated[
    str,
    typer.Option("--cooperation", help="Configuration file of the cooperation between gateways."),
]
TraceOption = Annotated[
    bool, typer.Option("--trace", help="Log the end of each attempt and request.")
]
ConfigOption = Annotated[
    str, typer.Option("--config", envvar="PROXY_CONFIG", help="Configuration file.")
]


def exit_with_error(message: str) -> NoReturn:
    """Print an error message and exit with the status for invalid usage."""
    print(f"claycross: {message}", file=sys.stderr)
    raise typer.Exit(USAGE_ERROR_STATUS)


def load_http2(path: str) -> Http2Config:
    """Read the configuration file of HTTP/2 to engines."""
    # Imported on use: it loads msgspec, which the platform's gateway does not need.
    from .config.operator_files import Http2Config, read

    return read(path, Http2Config)


def load_cooperation(path: str) -> CooperationConfig:
    """Read the configuration file of the cooperation between gateways."""
    from .config.operator_files import CooperationConfig, read

    return read(path, CooperationConfig)


def load(
    config: str, embeddings: str, admin: str, etcd: str, http2: str, cooperation: str
) -> Configuration:
    """Read all configuration files; the path of a file that is not given is empty."""
    if admin and not embeddings:
        exit_with_error("--admin requires --embeddings, whose tenants it manages")
    try:
        gateway = read_config(config, dict(os.environ))
        return Configuration(
            gateway=gateway,
            embeddings=read_embeddings(embeddings, gateway) if embeddings else None,
            admin=read_admin(admin) if admin else None,
            etcd=read_etcd(etcd) if etcd else None,
            http2=load_http2(http2) if http2 else None,
            cooperation=load_cooperation(cooperation) if cooperation else None,
        )
    except ConfigurationError as err:
        exit_with_error(str(err))


def create_gateway(configuration: Configuration) -> Gateway:
    """Create the gateway, which starts to listen; exit with an error if it cannot."""
    try:
        return Gateway(configuration)
    except ConfigurationError as err:
        exit_with_error(str(err))
    except OSError as err:
        exit_with_error(f"cannot listen on {listen_addresses(configuration)}: {err.strerror}")


def listen_addresses(configuration: Configuration) -> str:
    """Return the addresses and the inherited descriptor on which a gateway listens."""
    sections = (configuration.gateway, configuration.embeddings, configuration.admin)
    addresses = " or ".join(
        f"{section.listen[0]}:{section.listen[1]}" for section in sections if section
    )
    descriptor = configuration.gateway.inherited_socket
    return addresses if descriptor is None else f"{addresses} (inherited descriptor {descriptor})"


def reread_configuration(config: str, etcd: str) -> tuple[GatewayConfig, Address]:
    """Read the files that a reload applies; return the configuration and address of discovery."""
    # The environment holds the address of discovery as of the start; the file is newer.
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_DISCOVERY"}
    gateway = read_config(config, environment)
    return gateway, read_etcd(etcd).address if etcd else gateway.discovery


@app.command()
def serve(
    config: ConfigOption,
    embeddings: EmbeddingsOption = "",
    admin: AdminOption = "",
    etcd: EtcdOption = "",
    http2: Http2Option = "",
    cooperation: CooperationOption = "",
    trace: TraceOption = False,
) -> None:
    """Run the gateway until SIGTERM; SIGHUP reloads the configuration."""
    gateway = create_gateway(load(config, embeddings, admin, etcd, http2, cooperation))
    if trace:
        gateway.trace()
    gateway.run(partial(reread_configuration, config, etcd))


@app.command("check-config")
def check_config(
    config: ConfigOption,
    embeddings: EmbeddingsOption = "",
    admin: AdminOption = "",
    etcd: EtcdOption = "",
    http2: Http2Option = "",
    cooperation: CooperationOption = "",
) -> None:
    """Validate the configuration files and print a summary of each."""
    configuration = load(config, embeddings, admin, etcd, http2, cooperation)
    for description in describe(configuration):
        print(f"ok: {description}")


def describe(configuration: Configuration) -> Iterator[str]:
    """Yield a one-line summary of each configuration file."""
    gateway = configuration.gateway
    yield (
        f"{gateway.name or 'unnamed'} listens on {gateway.listen[0]}:{gateway.listen[1]}, "
        f"{len(gateway.settings.classes)} classes, "
        f"{len(gateway.saved_list.get('targets', []))} engines in the saved list"
    )
    embeddings = configuration.embeddings
    if embeddings:
        yield (
            f"embeddings service listens on {embeddings.listen[0]}:{embeddings.listen[1]}, "
            f"at most {embeddings.max_requests} requests, "
            f"machine kinds {', '.join(embeddings.settings.roles)}"
        )
    admin = configuration.admin
    if admin:
        yield (
            f"administration API listens on {admin.listen[0]}:{admin.listen[1]}, "
            f"tenants file {admin.tenants}"
        )
    etcd = configuration.etcd
    if etcd:
        yield (
            f"endpoint list from etcd at {etcd.address[0]}:{etcd.address[1]}, "
            f"keys under {etcd.prefix}"
        )
    cooperation = configuration.cooperation
    if cooperation:
        yield (
            f"gateways cooperate: one membership probe per {cooperation.members.period_ms} ms, "
            f"{len(cooperation.members.keys)} keys"
        )
    http2 = configuration.http2
    if http2:
        engines = (
            "all engines that specify no other protocol" if http2.everywhere else "h2c engines"
        )
        yield (
            f"HTTP/2 to {engines}, {http2.connections} connections per engine, "
            f"{http2.streams} streams per connection"
        )


@app.command()
def emulate(
    fleet: Annotated[str, typer.Argument(help="Fleet file, such as deploy/fleet.toml.")],
) -> None:
    """Run emulated engines and their discovery service on loopback until SIGTERM."""
    # Imported on use: a gateway does not need the emulator.
    from .config.operator_files import read
    from .emulator.engine_server import EmulatedFleet
    from .emulator.fleet_file import FleetFile

    loop = EventLoop()

    def log(text: str) -> None:
        """Write one log line of the emulator."""
        log_line(f"{loop.unix_time() / SECOND:.3f} emulator {text}")

    try:
        emulated_fleet = EmulatedFleet(loop, read(fleet, FleetFile), log)
    except ConfigurationError as err:
        exit_with_error(str(err))
    except OSError as err:
        exit_with_error(f"cannot listen: {err.strerror}")
    loop.on_signals({signal.SIGTERM: loop.stop, signal.SIGINT: loop.stop})
    discovery = "{}:{}".format(*emulated_fleet.discovery.address)
    control = "{}:{}".format(*emulated_fleet.control.address)
    emulated_fleet.log(
        f"emulating engines={len(emulated_fleet.servers)} discovery={discovery} control={control}"
    )
    loop.run()


@app.command()
def demo(
    fleet: Annotated[str, typer.Option(help="Fleet file.")] = "deploy/fleet.toml",
    seconds: Annotated[float, typer.Option(min=2, max=600)] = 10.0,
    rate: Annotated[float, typer.Option(min=1, max=100, help="Requests per second.")] = 22.0,
    quiet: Annotated[bool, typer.Option("--quiet", help="Hide the progress bar.")] = False,
    http2: Http2Option = "",
) -> None:
    """Run two gateways on emulated engines under a short mixed load, with a drain and a restart.

    Exits with status 0 only if each request was answered exactly once, served or rejected.
    """
    from .emulator.demo import run_demo

    raise typer.Exit(0 if run_demo(fleet, seconds, rate, quiet, http2) else 1)


@app.command()
def drill(
    file: Annotated[
        str, typer.Argument(help="Fault scenario file, such as deploy/drills/kill.toml.")
    ],
    gateways: Annotated[int, typer.Option(help="Number of gateways; 0: as in the file.")] = 0,
    seed: Annotated[int, typer.Option(help="Seed of the load; 0: as in the file.")] = 0,
    plain: Annotated[
        bool, typer.Option("--plain", help="Disable the cooperation between gateways.")
    ] = False,
    json_file: Annotated[str, typer.Option("--json", help="Output file of the full report.")] = "",
    plot: Annotated[str, typer.Option(help="Output file of a chart (requires matplotlib).")] = "",
    cooperation: CooperationOption = "deploy/cooperation.toml",
) -> None:
    """Run a fault scenario: many gateways on emulated engines, with injected faults.

    Exits with status 0 only if all invariant checks pass.
    """
    from .emulator.fault_scenario import run_scenario

    try:
        passed = run_scenario(file, gateways, seed, plain, json_file, plot, cooperation)
    except ConfigurationError as err:
        exit_with_error(str(err))
    raise typer.Exit(0 if passed else 1)


def read_seeds(text: str) -> list[int]:
    """Parse seeds such as "7", "1-5" or "1,4,9"."""
    seeds: list[int] = []
    try:
        for part in text.split(","):
            first, dash, last = part.partition("-")
            seeds += range(int(first), int(last if dash else first) + 1)
    except ValueError:
        exit_with_error(f"seeds must be numbers such as 7, 1-5 or 1,4,9, not {text!r}")
    if not seeds or len(seeds) > MAX_SEEDS:
        exit_with_error(f"the number of seeds must be 1 to {MAX_SEEDS}, not {len(seeds)}")
    return seeds


@app.command()
def soak(
    seeds: Annotated[str, typer.Option(help="Seeds, such as 7, 1-5 or 1,4,9.")] = "1",
    seconds: Annotated[
        float, typer.Option(min=6, max=3600, help="Duration of the load of each seed.")
    ] = 30.0,
    gateways: Annotated[int, typer.Option(min=2, max=40)] = 24,
    rate: Annotated[float, typer.Option(min=1, max=200, help="New clients per second.")] = 30.0,
    keep: Annotated[
        str, typer.Option(help="Directory in which logs and configurations are kept.")
    ] = "",
    cooperation: CooperationOption = "",
) -> None:
    """Run a soak test: gateway processes under overlapping faults, with invariant checks.

    Exits with status 0 only if no invariant is violated for any seed.
    """
    from .emulator.soak_test import run_seed

    failed_seeds: list[int] = []
    for seed in read_seeds(seeds):
        try:
            if not run_seed(seed, seconds, gateways, rate, keep, cooperation):
                failed_seeds.append(seed)
        except ConfigurationError as err:
            exit_with_error(str(err))
    if failed_seeds:
        print(f"BROKEN for seeds {', '.join(str(seed) for seed in failed_seeds)}")
    raise typer.Exit(1 if failed_seeds else 0)


@app.command()
def version() -> None:
    """Print the version."""
    print(f"claycross {VERSION}")
