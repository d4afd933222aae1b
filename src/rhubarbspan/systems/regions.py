"""Keeps the regions of data centres, servers and instances as the settings say.

The document in force names the regions that the instance knew which translated it, and
stays until the next revision.
"""

from dataclasses import replace

from ..configuration import DataCentre
from ..effects import Effects
from ..inputs import Inbox, PoliciesChanged
from ..world import World


def apply_regions(world: World, now_s: float, inbox: Inbox) -> Effects:
    """Apply the regions in the policies after a change of either."""
    regions = world.policies.regions
    if regions is None:
        return []
    if not (world.is_configuration_new or inbox.of(PoliciesChanged)):
        return []
    configuration = world.configuration
    known = {row.name: row.region for row in configuration.data_centres.values()}
    if known == regions or configuration.revision == 0:
        return []
    data_centres = {
        name: DataCentre(name, region, 0, ()) for name, region in regions.items()
    }
    world.configuration = replace(configuration, data_centres=data_centres)
    world.is_configuration_new = True
    for peer in world.peers.rows():
        peer.region = regions.get(peer.data_centre, peer.region)
    for server in world.servers.rows():
        region = regions.get(server.data_centre, server.region)
        if region != server.region:
            world.servers.remove(server)
            server.region = region
            world.servers.add(server)
    return []
