//! Tasks that can be paused, as an operating system pauses a process.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Pauses and resumes the tasks wrapped by it; clones share it.
#[derive(Clone, Debug, Default)]
pub struct PauseSwitch {
    paused: Rc<Cell<bool>>,
    wakers: Rc<RefCell<Vec<Waker>>>,
}

impl PauseSwitch {
    /// Pauses the tasks, or resumes them.
    pub fn set(&self, paused: bool) {
        self.paused.set(paused);
        if !paused {
            let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
            wakers.into_iter().for_each(Waker::wake);
        }
    }

    /// Runs a future without polling it while paused.
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
            self.wakers.borrow_mut().push(context.waker().clone());
            return Poll::Pending;
        }
        task.poll(context)
    }
}
