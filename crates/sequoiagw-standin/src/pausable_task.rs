//! A task that can be paused, as a process is by its host.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Switch of a pausable task; clones share it.
#[derive(Clone, Debug, Default)]
pub struct PauseSwitch {
    paused: Rc<Cell<bool>>,
    waker: Rc<RefCell<Option<Waker>>>,
}

impl PauseSwitch {
    /// Pauses the task, or lets it go on.
    pub fn set(&self, paused: bool) {
        self.paused.set(paused);
        if let (false, Some(waker)) = (paused, self.waker.borrow_mut().take()) {
            waker.wake();
        }
    }

    /// Wraps a future so that it isn't polled while paused.
    pub async fn wrap<Task>(self, task: Task)
    where
        Task: Future<Output = ()>,
    {
        let mut task = Box::pin(task);
        std::future::poll_fn(|context| self.poll(task.as_mut(), context)).await;
    }

    fn poll<Task>(&self, task: Pin<&mut Task>, context: &mut Context<'_>) -> Poll<()>
    where
        Task: Future<Output = ()>,
    {
        if self.paused.get() {
            *self.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        task.poll(context)
    }
}
