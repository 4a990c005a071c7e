"""Start the gateway daemon."""

__all__ = ["main"]

import signal


def main() -> None:
    """Run the gateway's command line, whatever signals come while its modules load."""
    # SIGHUP would end the process; the settings are read only after the modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from tanagertrail.gateway.command_line import run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
