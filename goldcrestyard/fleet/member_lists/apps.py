"""Plug-in: the leader sends the control members' addresses to entries."""

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.fleet.member_lists.channel import (
    MemberList,
    MemberListChannel,
    MemberListMerger,
)
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.apps import PluginConfig
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.membership.digests import EntryDigests, LeaderDigests
from goldcrestyard.wire.codec import Codec


class MemberListsConfig(PluginConfig):
    """Sends the members' addresses in reply to each lease renewal."""

    name = "member_lists"
    requires = ("peers",)
    after = ("assembly", "entry")
    messages = (MemberList,)

    def ready(self, app: Application) -> None:
        """Register the channel on entries, the merger on control members."""
        codec = app.get(Codec)
        digests = app.find(EntryDigests)
        if digests is not None:
            digests.add(MemberListChannel(app.get(ControlAddresses), codec))
        leader_digests = app.find(LeaderDigests)
        member = app.find(ControlMember)
        if leader_digests is not None and member is not None:
            leader_digests.add(MemberListMerger(member, codec))
