//! `GET /v1/status` and `GET /v1/instances`: the status of this process, and
//! the active revisions of all instances.

use std::sync::atomic::Ordering;

use fescuerack_core::member::State;
use fescuerack_wire::admin::{Instance, Instances, Status};

use super::Context;
use crate::node_state::{NodeState, lock};
use crate::peers;

/// Returns the status of the process.
pub fn status(shared: &NodeState) -> Status {
    Status {
        instance: shared.settings.instance.clone(),
        zone: shared.settings.zone.clone(),
        incarnation: shared.incarnation.clone(),
        ready: shared.is_ready(),
        draining: shared.draining.load(Ordering::SeqCst),
        revision: shared.active_configuration().catalog.revision,
    }
}

/// Queries the active revision of every listed instance.
pub fn all(context: &Context) -> Instances {
    let shared = &context.shared;
    let peers: Vec<_> = {
        let member = lock(&shared.member);
        member.view.iter().map(|(_, peer)| peer.clone()).collect()
    };
    let addresses: Vec<_> = peers.iter().map(|peer| peer.address.clone()).collect();
    let revisions = context
        .runtime
        .block_on(peers::revisions(shared, &addresses));
    let mut instances: Vec<_> = peers
        .into_iter()
        .zip(revisions)
        .map(|(peer, revision)| Instance {
            instance: peer.id,
            zone: peer.zone,
            revision,
            leaving: peer.state == State::Leaving,
        })
        .collect();
    let status = status(shared);
    instances.push(Instance {
        instance: status.instance,
        zone: status.zone,
        revision: Some(status.revision),
        leaving: !status.ready,
    });
    instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    Instances { instances }
}
