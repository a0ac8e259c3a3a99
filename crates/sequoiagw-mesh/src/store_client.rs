//! A node's access to the platform's store.

use std::rc::Rc;

use sequoiagw_store::ChangeBatch;
use sequoiagw_store::EraAnswer;
use sequoiagw_store::PollRequest;
use sequoiagw_store::PollingStore;
use sequoiagw_store::StoreError;
use sequoiagw_store::StoreReply;
use sequoiagw_store::StoreRequest;

use crate::StoreHealth;

/// Access to the store that records what each answer shows of it.
#[derive(Clone)]
pub(crate) struct StoreClient {
    store: Rc<dyn PollingStore>,
    health: StoreHealth,
}

impl StoreClient {
    /// Access to `store` that records answers in `health`.
    pub(crate) fn new(store: Rc<dyn PollingStore>, health: StoreHealth) -> Self {
        Self { store, health }
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
        Ok(answered)
    }
}
