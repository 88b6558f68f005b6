#pragma once

// A task's message queue. Other tasks post messages, and the handler gets them in
// order in a later iteration of the loop. post() never calls the handler itself, so
// tasks can't re-enter each other.

#include <deque>
#include <functional>
#include <utility>

#include "base/event_loop.h"

namespace guavahaven {

template <class Message>
class mailbox {
public:
    mailbox(event_loop& loop, std::function<void(Message&&)> handler)
        : handler_(std::move(handler)), event_(event_new(loop.base(), -1, 0, &mailbox::deliver, this))
    {
    }
    mailbox(const mailbox&) = delete;
    mailbox& operator=(const mailbox&) = delete;

    void post(Message message)
    {
        if (waiting_.empty())
            event_active(event_.get(), EV_TIMEOUT, 0);
        waiting_.push_back(std::move(message));
    }

private:
    static void deliver(evutil_socket_t, short, void* self)
    {
        auto& receiver = *static_cast<mailbox*>(self);
        std::deque<Message> batch;
        batch.swap(receiver.waiting_);
        for (Message& message : batch)
            receiver.handler_(std::move(message));
    }

    std::deque<Message> waiting_;
    std::function<void(Message&&)> handler_;
    std::unique_ptr<event, event_deleter> event_;
};

} // namespace guavahaven
