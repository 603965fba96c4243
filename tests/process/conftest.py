import pytest

from tests.process.fleet import Fleet


@pytest.fixture(scope="session")
def running_fleet(tmp_path_factory):
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        yield fleet


@pytest.fixture
def fleet(running_fleet):
    """The fleet, without faults and settled before and after each test."""
    running_fleet.restore()
    yield running_fleet
    running_fleet.restore()
