//! A node's access to the platform's store.

use std::rc::Rc;

use sequoiagw_store::ChangeBatch;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;

use crate::MeshHandle;
use crate::StoreHealth;

/// Access to the store that records what each answer shows of it.
#[derive(Clone)]
pub(crate) struct StoreClient {
    handle: MeshHandle,
    store: Rc<dyn PollingStore>,
    health: StoreHealth,
}

impl StoreClient {
    /// Access to `store` that records answers in `health`, and their era also in the node.
    pub(crate) fn new(
        handle: MeshHandle,
        store: Rc<dyn PollingStore>,
        health: StoreHealth,
    ) -> Self {
        Self {
            handle,
            store,
            health,
        }
    }

    /// Makes one call.
    pub(crate) async fn call(
        &self,
        request: StoreRequest,
    ) -> Result<EraAnswer<StoreReply>, StoreError> {
        let answered = self.store.call(request).await?;
        self.accept(answered)
    }

    /// Requests changes.
    pub(crate) async fn poll(
        &self,
        request: PollRequest,
    ) -> Result<EraAnswer<ChangeBatch>, StoreError> {
        let answered = self.store.poll(request).await?;
        self.accept(answered)
    }

    fn accept<Answer>(&self, answered: EraAnswer<Answer>) -> Result<EraAnswer<Answer>, StoreError> {
        self.health.record_success(answered.era)?;
        self.handle
            .with_core(|core, _| core.set_store_era(answered.era));
        Ok(answered)
    }
}
