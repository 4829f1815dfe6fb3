//! Choice of the peers through which an instance is dialled.

use {
    std::collections::BTreeSet,
    turmerictack_model::{
        ids::{Address, InstanceId},
        rendezvous::owners,
    },
};

/// A peer that is alive, stays, and isn't cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelPeer<'a> {
    /// Address for requests of other nodes.
    pub address: &'a str,
    /// Data centre of the peer.
    pub data_centre: &'a str,
}

/// Instance that is dialled, and where both ends are.
#[derive(Clone, Copy, Debug)]
pub struct TunnelEnds<'a> {
    /// Instance.
    pub instance: &'a InstanceId,
    /// Data centre of the instance, if known.
    pub instance_data_centre: Option<&'a str>,
    /// Data centre of this node.
    pub own_data_centre: &'a str,
}

/// Chooses up to `count` peers, the preferred one first.
///
/// Peers that failed for the instance lately come last. Of the others, those are preferred through
/// which the bytes cross the fewest borders of data centres, and among them the rendezvous hash of
/// the instance decides: the tunnels to one instance share a peer, and all tunnels spread over the
/// peers. Each further peer is in another data centre than those before it, as far as there are any,
/// since the peers of one data centre may lose their paths together.
pub fn choose_peers<'a>(
    ends: TunnelEnds<'_>,
    peers: impl Iterator<Item = TunnelPeer<'a>>,
    failed: &BTreeSet<Address>,
    count: usize,
) -> Vec<Address> {
    let mut candidates: Vec<TunnelPeer<'a>> = peers.collect();
    let (mut chosen, mut data_centres) = (Vec::with_capacity(count), BTreeSet::new());
    while chosen.len() < count {
        let preference = |peer: &TunnelPeer<'_>| {
            let is_used = data_centres.contains(peer.data_centre);
            (failed.contains(peer.address), is_used, border_crossings(ends, peer.data_centre))
        };
        let Some(best) = candidates.iter().map(preference).min() else { break };
        let preferred = candidates.iter().filter(|p| preference(p) == best).map(|p| p.address);
        let Some(address) = owners(ends.instance, preferred, 1).pop() else { break };
        let is_chosen = |peer: &TunnelPeer<'_>| peer.address == address;
        data_centres.extend(candidates.iter().filter(|p| is_chosen(p)).map(|p| p.data_centre));
        candidates.retain(|p| !is_chosen(p));
        chosen.push(address.to_owned());
    }
    chosen
}

/// Borders between data centres that the bytes of a tunnel cross.
fn border_crossings(ends: TunnelEnds<'_>, data_centre: &str) -> usize {
    let to_peer = usize::from(data_centre != ends.own_data_centre);
    to_peer + usize::from(ends.instance_data_centre.is_some_and(|d| d != data_centre))
}
