"""Starts a node on the users' platform from the files that ``build.sh`` lays out."""

import sys
from os.path import abspath, dirname, join

APP_DIRECTORY = dirname(abspath(__file__))
# The interpreter runs in isolated mode (-I -S), so that it imports no other package
# that is installed on the VM.
sys.path[:0] = [APP_DIRECTORY, join(dirname(APP_DIRECTORY), "deps")]

from heatherpick.platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
