"""Runs the measurements one after another (`make bench`)."""

import argparse
import runpy
import sys

MEASUREMENTS = (
    'differential',
    'placement',
    'rounds',
    'relay',
    'control',
    'urgent',
    'recovery',
)


def main() -> None:
    """Run the named measurements, all of them by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        'names',
        nargs='*',
        metavar='NAME',
        help=f'which to run: {", ".join(MEASUREMENTS)}; default: all',
    )
    chosen = parser.parse_args().names or MEASUREMENTS
    unknown = set(chosen).difference(MEASUREMENTS)
    if unknown:
        parser.error(f'unknown measurement: {", ".join(sorted(unknown))}')
    for name in chosen:
        sys.argv = [f'bench.{name}']
        runpy.run_module(f'bench.{name}', run_name='__main__')


if __name__ == '__main__':
    main()
