//! Connects the links of a node with the pacer of what it receives.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use sequoiagw_protocol::FramePart;
use sequoiagw_protocol::PeerFrame;
use sequoiagw_protocol::TransferGrant;
use sequoiagw_protocol::TransferOffer;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::part_joiner::JoinError;
use crate::ReceivePacer;

/// A message about transfers for the task that writes a link.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkSignal {
    /// Send this grant to the peer.
    SendGrant(TransferGrant),
    /// The peer has sent this grant.
    Granted(TransferGrant),
}

/// Receiving side of the transfers on all links of a node.
#[derive(Debug)]
pub(crate) struct TransferReceiver {
    pacer: RefCell<ReceivePacer>,
    links: RefCell<HashMap<u64, UnboundedSender<LinkSignal>>>,
    /// Notified when a grant may be due earlier than before.
    changed: Notify,
}

impl TransferReceiver {
    pub(crate) fn new(pacer: ReceivePacer) -> Self {
        Self {
            pacer: RefCell::new(pacer),
            links: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// Adds a link, whose grants are sent through `signals`.
    pub(crate) fn add_link(&self, link: u64, signals: UnboundedSender<LinkSignal>) {
        self.links.borrow_mut().insert(link, signals);
    }

    /// Removes a link with its offers.
    pub(crate) fn remove_link(&self, link: u64) {
        self.links.borrow_mut().remove(&link);
        self.pacer.borrow_mut().on_link_ended(link);
        self.changed.notify_one();
    }

    /// Handles an offer that arrived on a link.
    pub(crate) fn on_offer(&self, link: u64, offer: &TransferOffer) {
        let refusal = self
            .pacer
            .borrow_mut()
            .on_offer(link, offer, Instant::now());
        match refusal {
            Some(refusal) => self.send_grant(link, refusal),
            None => self.changed.notify_one(),
        }
    }

    /// Takes a part that arrived on a link, see [`ReceivePacer::on_part`].
    pub(crate) fn on_part(
        &self,
        link: u64,
        part: &FramePart,
    ) -> Option<Result<Option<PeerFrame>, JoinError>> {
        let joined = self.pacer.borrow_mut().on_part(link, part)?;
        self.changed.notify_one();
        Some(joined)
    }

    /// Time until what is offered now has been received.
    pub(crate) fn backlog_wait(&self) -> Duration {
        self.pacer.borrow().backlog_wait(Instant::now())
    }

    /// Sends grants as they become due, without end.
    pub(crate) async fn run(&self) {
        loop {
            let now = Instant::now();
            let grants = self.pacer.borrow_mut().take_grants(now);
            for (link, grant) in grants {
                self.send_grant(link, grant);
            }
            let wake = self.pacer.borrow().next_wake(now);
            match wake {
                Some(wake) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(wake) => {}
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }

    fn send_grant(&self, link: u64, grant: TransferGrant) {
        if let Some(signals) = self.links.borrow().get(&link) {
            // Sending fails if the link has just ended, and its offers with it.
            let _ = signals.send(LinkSignal::SendGrant(grant));
        }
    }
}
