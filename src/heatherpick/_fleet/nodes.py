"""Entries by which nodes register themselves in the store."""

from dataclasses import dataclass

from heatherpick._fleet.addresses import parse_address

__all__ = ["NodeEntry"]

#: Largest plausible bandwidth of a link, in Mbit/s.
MAX_LINK_MBPS = 10_000_000


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the fleet, as it registered itself.

    Parameters
    ----------
    address : str
        Address for polls by other nodes, ``ip:port``; also identifies the node.
    search_address : str, default=""
        Address for searches that other nodes hand over, ``ip:port``; empty if it
        accepts none.
    data_centre : str, default=""
        Data centre of the node.
    link_mbps : float, default=0.0
        Bandwidth of its network link, in Mbit/s; 0 if it is not known.
    """

    address: str
    search_address: str = ""
    data_centre: str = ""
    link_mbps: float = 0.0

    @classmethod
    def from_value(cls, value):
        """Decode an object of the store.

        Returns
        -------
        NodeEntry or None
            None without a valid address; only the address if any other field is
            missing or invalid.
        """
        address = value.get("address") if isinstance(value, dict) else None
        if parse_address(address) is None:
            return None
        search_address = value.get("search_address")
        data_centre = value.get("data_centre")
        link_mbps = value.get("link_mbps")
        is_complete = (
            (search_address == "" or parse_address(search_address) is not None)
            and isinstance(data_centre, str)
            and isinstance(link_mbps, (int, float))
            and 0 <= link_mbps <= MAX_LINK_MBPS
        )
        if not is_complete:
            return cls(address)
        return cls(address, search_address, data_centre, float(link_mbps))

    def to_value(self):
        """Encode the entry as an object of the store."""
        return {
            "address": self.address,
            "search_address": self.search_address,
            "data_centre": self.data_centre,
            "link_mbps": self.link_mbps,
        }
