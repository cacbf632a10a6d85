"""The command line, and the putting together of the gateway's parts.

Owns the process: its configuration, its start, its end on SIGTERM and its log. It must never handle
a request itself.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from typing import Annotated

import typer

from .core import Core
from .interface import EngineList
from .invariant import broken
from .net.discovery import Address, Discovery
from .net.engines import Engines, Pool
from .net.loop import MS, SECOND, Loop
from .net.platform import Platform
from .settings import BadSettings, Config, read_config

VERSION = "0.2.0"
STILL_ACCEPTS = 500 * MS  # after SIGTERM: the front needs up to 0.4 s to notice
STATS = 10 * SECOND
app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="The gateway of the chat service.")
ConfigOption = Annotated[str, typer.Option("--config", envvar="PROXY_CONFIG", help="Configuration file.")]


class Gateway:
    """All parts of one gateway, on one loop."""

    def __init__(self, config: Config):
        self.config, self.loop = config, Loop()
        self.stopping = False
        self.core = Core(config.settings, config.seed, self.loop, self.log)
        share = max(16, (config.sockets - 48) // 2)  # of the descriptors, for each side
        idle = int(config.settings.idle_close)
        self.pool = Pool(self.loop, share, idle // 2, config.dial_timeout)
        self.engines = Engines(self.loop, self.pool, self.core)
        self.core.calls = self.engines
        self.discovery = Discovery(self.loop, config.discovery, [self.told], self.log)
        self.discovery.start_from(config.known)
        self.loop.after_round.append(self.core.flush)
        self.core.flush()
        self.front = Platform(self.loop, self.core, config.listen, share)
        if config.settings.ask_for_list:
            self.core.subscribe = lambda: self.loop.spawn(self.discovery.watch_once, self.list_failed)
        else:
            self.loop.spawn(self.discovery.watch_for_ever)
        self.loop.later(STATS, self.stats)

    def told(self, found: EngineList, addresses: dict[str, Address]) -> None:
        if found.kind != "changes":
            self.engines.addresses.clear()
        self.engines.addresses.update(addresses)
        self.core.list(found)

    def list_failed(self) -> None:
        self.core.list(EngineList("failed"))

    def log(self, text: str) -> None:
        print(f"{self.loop.now() / SECOND:.3f} {self.config.name} {text}", flush=True)

    def stats(self) -> None:
        loop, pool = self.loop, self.pool
        counts = " ".join(f"{k}={v}" for k, v in sorted(self.core.counts.items()))
        self.log(f"stats open={len(self.core.open)} clients={len(self.front.clients)} engines={pool.open} "
                 f"dialled={pool.dialled} reused={pool.reused} late_max_ms={loop.worst_late / MS:.1f} "
                 f"late_rounds={loop.late_rounds} errors={loop.errors} "
                 f"broken={sum(broken.values())} {counts}")
        loop.worst_late = 0
        loop.later(STATS, self.stats)

    def stop(self) -> None:
        """SIGTERM: goes on accepting for a while, then ends as soon as nothing is owed."""
        if self.stopping:
            return
        self.stopping = True
        self.log(f"stopping open={len(self.core.open)} clients={len(self.front.clients)}")
        self.front.drain()
        self.loop.later(STILL_ACCEPTS, self.front.close)
        self.loop.later(STILL_ACCEPTS, self.end)

    def end(self) -> None:
        if self.front.clients or self.core.open or self.core.leases:
            self.loop.later(20 * MS, self.end)
            return
        self.log("stopped")
        self.loop.stop()

    def run(self) -> None:
        self.loop.on_signals([signal.SIGTERM, signal.SIGINT], self.stop)
        gc.collect()
        gc.freeze()
        self.log(f"serving listen={self.config.listen[0]}:{self.config.listen[1]} version={VERSION} "
                 f"debug={__debug__} engines={len(self.core.listed)}")
        self.loop.run()


def load(path: str) -> Config:
    try:
        return read_config(path, dict(os.environ))
    except BadSettings as err:
        complain(str(err))


def complain(text: str) -> None:
    print(f"claycross: {text}", file=sys.stderr)
    raise typer.Exit(2)


@app.command()
def serve(config: ConfigOption) -> None:
    """Runs the gateway until SIGTERM."""
    found = load(config)
    try:
        gateway = Gateway(found)
    except OSError as err:
        complain(f"cannot listen on {found.listen[0]}:{found.listen[1]}: {err.strerror}")
    gateway.run()


@app.command("check-config")
def check_config(config: ConfigOption) -> None:
    """Reads the configuration and says what it holds, or what is wrong with it."""
    found = load(config)
    print(f"ok: {found.name or 'unnamed'} listens on {found.listen[0]}:{found.listen[1]}, "
          f"{len(found.settings.classes)} classes, {len(found.known.get('targets', []))} known engines")


@app.command()
def version() -> None:
    """Prints the version."""
    print(f"claycross {VERSION}")


if __name__ == "__main__":
    app(prog_name="claycross")
