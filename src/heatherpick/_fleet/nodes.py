"""What a node tells the others of itself."""

from dataclasses import dataclass

__all__ = ["NodeEntry"]


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """One node of the fleet, as it registered itself.

    Parameters
    ----------
    address : str
        Where it answers other nodes, ``ip:port``; also its identity among them.
    search_address : str, default=""
        Where it takes searches of other nodes, ``ip:port``; empty if it takes none.
    data_centre : str, default=""
        Its place.
    link_mbps : float, default=0.0
        Bandwidth of its own link; 0 if it is not known.
    """

    address: str
    search_address: str = ""
    data_centre: str = ""
    link_mbps: float = 0.0

    @classmethod
    def from_value(cls, value):
        """Decode an object of the store; return None for one that names no node."""
        address = value.get("address") if isinstance(value, dict) else None
        if not isinstance(address, str) or not address:
            return None
        texts = [value.get(name) for name in ("search_address", "data_centre")]
        link_mbps = value.get("link_mbps")
        is_whole = all(isinstance(text, str) for text in texts)
        if not is_whole or not isinstance(link_mbps, (int, float)):
            return cls(address)
        return cls(address, *texts, float(link_mbps))

    def to_value(self):
        """Return the object to store."""
        return {
            "address": self.address,
            "search_address": self.search_address,
            "data_centre": self.data_centre,
            "link_mbps": self.link_mbps,
        }
